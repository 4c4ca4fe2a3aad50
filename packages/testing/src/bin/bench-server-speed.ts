#!/usr/bin/env node
import process from 'node:process';
import {benchServerSpeed} from '../_bench-server-speed.js';

const seed = Number(process.argv[2] ?? 20_261_204);
process.stdout.write(`seed ${seed}, Node ${process.version}\n${benchServerSpeed(seed).join('\n')}\n`);
