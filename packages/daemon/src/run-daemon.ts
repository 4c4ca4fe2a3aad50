import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {formatProblem, parseSettings, type Settings} from '@valehitch/settings';
import bunyan from 'bunyan';
import {startDaemon} from './start-daemon.js';

/** Options of {@linkcode runDaemon}. */
export type RunDaemonOptions = {
	/** Has a function called with each signal, also with those that arrived before. */
	readonly handleSignals: (handle: (signal: NodeJS.Signals) => void) => void;
	/** Ends the process with an exit code. */
	readonly exit: (code: number) => void;
};

const usage = 'Usage: valehitchd --settings FILE.yaml';
const usageExitCode = 2;
const failureExitCode = 1;

/**
Runs the program: reads the settings, starts the daemon, and handles signals until it is stopped.

@param options The signals, and how the process is ended.
@example
```ts
await runDaemon({handleSignals, exit});
```
*/
export async function runDaemon({handleSignals, exit}: RunDaemonOptions): Promise<void> {
	try {
		await start(handleSignals);
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
		// Components that started before the failure, such as the connections to other daemons, would keep the process running.
		exit(failureExitCode);
	}
}

async function start(handleSignals: RunDaemonOptions['handleSignals']): Promise<void> {
	const settings = await readSettings();
	if (settings === undefined) {
		return;
	}

	const log = bunyan.createLogger({
		name: 'valehitchd', level: settings.logging.level, instance: settings.instance, zone: settings.zone,
	});
	const daemon = await startDaemon(settings, log);
	let isStopping = false;
	handleSignals(signal => {
		if (signal === 'SIGHUP') {
			log.warn('The settings are read only at the start; SIGHUP has no effect');
		} else if (!isStopping) {
			isStopping = true;
			void daemon.stop();
		}
	});
}

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
