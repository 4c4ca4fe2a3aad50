#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {formatProblem, parseSettings, type Settings} from '@valehitch/settings';
import bunyan from 'bunyan';
import {startDaemon} from '../start-daemon.js';

const usage = 'Usage: valehitchd --settings FILE.yaml';
const usageExitCode = 2;
const failureExitCode = 1;

async function readSettings(): Promise<Settings | undefined> {
	const {values: {settings: file}} = parseArgs({options: {settings: {type: 'string'}}});
	if (file === undefined) {
		process.stderr.write(`${usage}\n`);
		process.exitCode = usageExitCode;
		return undefined;
	}

	const parsed = parseSettings(await readFile(file, 'utf8'), file);
	return parsed.caseOf<Settings | undefined>({
		Left(problems) {
			for (const problem of problems) {
				process.stderr.write(`${formatProblem(problem)}\n`);
			}

			process.exitCode = failureExitCode;
			return undefined;
		},
		Right: settings => settings,
	});
}

async function main(): Promise<void> {
	const settings = await readSettings();
	if (settings === undefined) {
		return;
	}

	const log = bunyan.createLogger({
		name: 'valehitchd', level: settings.logging.level, instance: settings.instance, zone: settings.zone,
	});
	process.on('SIGHUP', () => {
		log.warn('The settings are read only at the start; SIGHUP has no effect');
	});
	const daemon = await startDaemon(settings, log);
	let stopping = false;
	const stop = (): void => {
		if (!stopping) {
			stopping = true;
			void daemon.stop();
		}
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
}

try {
	await main();
} catch (error) {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	// Components that started before the failure, such as the connections to other daemons, would keep the process running.
	process.exit(failureExitCode);
}
