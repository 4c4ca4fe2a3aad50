#!/usr/bin/env node
import {readFakeFlags, runFake} from '../_run-fake.js';
import {startFakeEngine} from '../fake-engine.js';

const flags = readFakeFlags();
runFake({flags, fake: await startFakeEngine({models: flags.models, port: flags.port, checksFencing: flags.checksFencing})});
