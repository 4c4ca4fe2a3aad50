#!/usr/bin/env node
import {runProgram} from '../run-program.js';

await runProgram();
