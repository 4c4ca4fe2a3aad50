#!/usr/bin/env node
import {readFakeFlags, runFake} from '../_run-fake.js';
import {startFakeService} from '../fake-service.js';

const flags = readFakeFlags();
runFake({flags, service: flags.service, fake: await startFakeService({port: flags.port})});
