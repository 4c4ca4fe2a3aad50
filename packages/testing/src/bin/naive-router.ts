#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {type NaiveRouterOptions, startNaiveRouter} from '../naive-router.js';

const {values: flags} = parseArgs({options: {plan: {type: 'string'}, port: {type: 'string', default: '0'}, zone: {type: 'string'}}});
const plan = JSON.parse(await readFile(flags.plan ?? '', 'utf8')) as NaiveRouterOptions;
const router = await startNaiveRouter({...plan, port: Number(flags.port)});
process.stdout.write(`The naive router listens on ${router.address}\n`);
process.once('SIGTERM', () => {
	void router.close();
});
