#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {formatProblem} from '@valehitch/settings';
import {parsePlatformSettings, type PlatformSettings} from '../platform-settings.js';
import {startProcess} from '../wire-process.js';

const failureExitCode = 1;
const variable = 'VALEHITCH_CONFIG';
const defaultFile = '/etc/valehitch/node.yaml';
/** The settings file may change without a signal; the seeds in it matter only to a process that lost all others. */
const rereadMilliseconds = 2000;

const file = process.env[variable] ?? defaultFile;

function readSettings(text: string): PlatformSettings | undefined {
	const parsed = parsePlatformSettings(text, file);
	return parsed.caseOf<PlatformSettings | undefined>({
		Left(problems) {
			for (const problem of problems) {
				process.stderr.write(`${formatProblem(problem)}\n`);
			}

			return undefined;
		},
		Right: settings => settings,
	});
}

async function main(): Promise<void> {
	let text = await readFile(file, 'utf8');
	const settings = readSettings(text);
	if (settings === undefined) {
		process.exitCode = failureExitCode;
		return;
	}

	const {values: {'metrics-port': port}} = parseArgs({options: {'metrics-port': {type: 'string'}}});
	const running = await startProcess(settings, {metricsPort: port === undefined ? undefined : Number(port)});
	const reload = async (): Promise<void> => {
		const newText = await readFile(file, 'utf8');
		if (newText === text) {
			return;
		}

		text = newText;
		const next = readSettings(text);
		if (next !== undefined) {
			running.reload(next);
		}
	};

	let isStopping = false;
	process.on('SIGHUP', () => {
		void reload();
	});
	process.on('SIGTERM', () => {
		if (!isStopping) {
			isStopping = true;
			void running.stop().then(() => {
				process.exit(0);
			});
		}
	});
	setInterval(() => {
		void reload();
	}, rereadMilliseconds);
}

try {
	await main();
} catch (error) {
	process.stderr.write(`${error instanceof Error ? error.stack ?? error.message : String(error)}\n`);
	process.exit(failureExitCode);
}
