import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import process from 'node:process';

/** How to run a process of a deployment. */
export type ManagedProcessOptions = {
	readonly name: string;
	/** A script for Node, and its arguments. */
	readonly command: readonly string[];
	/** Where its output goes; a restart appends. */
	readonly logFile: string;
	/** Variables of its environment besides those of this process. */
	readonly environment?: Readonly<Record<string, string>>;
};

/** How a process ended. */
export type ProcessEnd = {
	readonly code: number | undefined;
	readonly signal: string | undefined;
};

/** How a process ended, and after how many milliseconds. */
export type LastEnd = ProcessEnd & {readonly runtime: number};

const defaultStopMilliseconds = 20_000;
const runningChildren = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

/**
A Node process that a test starts, kills and starts again.

@example
```ts
const daemon = new ManagedProcess({name: 'entry-1', command: ['daemon.js'], logFile: 'entry-1.log'});
daemon.start();
await daemon.kill('SIGKILL');
daemon.start();
await daemon.stop();
```
*/
export class ManagedProcess {
	readonly name: string;
	readonly logFile: string;
	readonly #command: readonly string[];
	readonly #environment: Readonly<Record<string, string>>;
	#child: ChildProcess | undefined;
	#ended: Promise<ProcessEnd> | undefined;
	#startedAt = 0;
	#lastEnd: LastEnd | undefined;

	constructor({name, command, logFile, environment = {}}: ManagedProcessOptions) {
		this.name = name;
		this.logFile = logFile;
		this.#command = command;
		this.#environment = environment;
	}

	/** The process id; undefined while it does not run. */
	get pid(): number | undefined {
		return this.#child?.pid;
	}

	/** How long it has run, in milliseconds; 0 while it does not. */
	get runtime(): number {
		return this.#child === undefined ? 0 : performance.now() - this.#startedAt;
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	/** How it ended the last time; undefined before. */
	get lastEnd(): LastEnd | undefined {
		return this.#lastEnd;
	}

	/** Starts the process; does nothing while it runs. */
	start(): void {
		if (this.#child) {
			return;
		}

		const child = spawn(process.execPath, this.#command, {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...this.#environment}});
		const log = createWriteStream(this.logFile, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.#child = child;
		this.#startedAt = performance.now();
		runningChildren.add(child);
		this.#ended = this.#waitForEnd(child, log);
	}

	/**
	Sends a signal and waits for the end.

	@param signal The signal; SIGKILL by default.
	@returns How the process ended; undefined where it did not run.
	*/
	async kill(signal: NodeJS.Signals = 'SIGKILL'): Promise<ProcessEnd | undefined> {
		this.signal(signal);
		return this.#ended;
	}

	/**
	Sends a signal, such as SIGSTOP, without waiting.

	@param signal The signal.
	*/
	signal(signal: NodeJS.Signals): void {
		this.#child?.kill(signal);
	}

	/**
	Stops the process with SIGTERM, and with SIGKILL where it takes too long.

	@param timeoutMilliseconds How long SIGTERM may take; 20 000 by default.
	@returns How the process ended; undefined where it did not run.
	*/
	async stop(timeoutMilliseconds: number = defaultStopMilliseconds): Promise<ProcessEnd | undefined> {
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, timeoutMilliseconds);
		const end = await this.kill('SIGTERM');
		clearTimeout(timer);
		return end;
	}

	/** Stops the process and starts it again with the same arguments. */
	async restart(): Promise<void> {
		await this.stop();
		this.start();
	}

	async #waitForEnd(child: ChildProcess, log: NodeJS.WritableStream): Promise<ProcessEnd> {
		const [code, signal] = await once(child, 'close') as [number | undefined, string | undefined];
		log.end();
		runningChildren.delete(child);
		this.#child = undefined;
		const end = {code: code ?? undefined, signal: signal ?? undefined};
		this.#lastEnd = {...end, runtime: performance.now() - this.#startedAt};
		return end;
	}
}
