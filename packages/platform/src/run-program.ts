import process from 'node:process';
import {parseArgs} from 'node:util';
import {SettingsFile} from './settings-file.js';
import {startProcess} from './start-process.js';

const failureExitCode = 1;
const settingsVariable = 'VALEHITCH_CONFIG';
const defaultFile = '/etc/valehitch/node.yaml';
/** The interval at which the settings file is checked for changes, since it may change without a signal. It can be long, because the seeds in the file matter only to a process that has lost contact with all other instances. */
const reloadMilliseconds = 2000;

/** Options of {@linkcode runProgram}. */
export type RunProgramOptions = {
	/** Has a function called with each signal, also with those that arrived before. */
	readonly handleSignals: (handle: (signal: NodeJS.Signals) => void) => void;
	/** Ends the process with an exit code. */
	readonly exit: (code: number) => void;
};

/**
Runs the program: reads the settings, starts the process, and handles signals and changed settings until it is stopped.

@param options The signals, and how the process is ended.
@throws If a port cannot be opened.
@example
```ts
await runProgram({handleSignals, exit});
```
*/
export async function runProgram({handleSignals, exit}: RunProgramOptions): Promise<void> {
	const file = new SettingsFile(process.env[settingsVariable] ?? defaultFile);
	const read = await file.read();
	if (read.isLeft()) {
		process.stderr.write(`${read.extract().join('\n')}\n`);
		process.exitCode = failureExitCode;
		return;
	}

	const {values: {'metrics-port': port}} = parseArgs({options: {'metrics-port': {type: 'string'}}});
	const running = await startProcess(read.unsafeCoerce(), {metricsPort: port === undefined ? undefined : Number(port)});
	const reload = async (): Promise<void> => {
		const change = await file.readIfChanged();
		change.caseOf({
			Left(problems) {
				running.reportInvalidSettings(problems);
			},
			Right(next) {
				if (next !== undefined) {
					running.reload(next);
				}
			},
		});
	};

	let isStopping = false;
	handleSignals(signal => {
		if (signal === 'SIGHUP') {
			void reload();
		} else if (!isStopping) {
			isStopping = true;
			void running.stop().then(() => {
				exit(0);
			});
		}
	});
	setInterval(() => {
		void reload();
	}, reloadMilliseconds);
}
