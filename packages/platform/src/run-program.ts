import process from 'node:process';
import {parseArgs} from 'node:util';
import {SettingsFile} from './settings-file.js';
import {startProcess} from './wire-process.js';

const failureExitCode = 1;
const variable = 'VALEHITCH_CONFIG';
const defaultFile = '/etc/valehitch/node.yaml';
/** The settings file may change without a signal; the seeds in it matter only to a process that lost all others. */
const rereadMilliseconds = 2000;

/** What SIGHUP asks for; until the process runs, there is nothing to reload, and the signal must not end it. */
let reload = async (): Promise<void> => undefined;

/**
Runs the program: reads its settings, starts the process, and takes signals and changed settings until it is stopped.

@throws If a port cannot be opened.
@example
```ts
await runProgram();
```
*/
export async function runProgram(): Promise<void> {
	process.on('SIGHUP', () => {
		void reload();
	});
	const file = new SettingsFile(process.env[variable] ?? defaultFile);
	const read = await file.read();
	if (read.isLeft()) {
		process.stderr.write(`${read.extract().join('\n')}\n`);
		process.exitCode = failureExitCode;
		return;
	}

	const {values: {'metrics-port': port}} = parseArgs({options: {'metrics-port': {type: 'string'}}});
	const running = await startProcess(read.unsafeCoerce(), {metricsPort: port === undefined ? undefined : Number(port)});
	reload = async () => {
		const change = await file.readChange();
		change.caseOf({
			Left(problems) {
				running.keepSettings(problems);
			},
			Right(next) {
				if (next !== undefined) {
					running.reload(next);
				}
			},
		});
	};

	let isStopping = false;
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
