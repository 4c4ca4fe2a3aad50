import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import process from 'node:process';

/** Options for a managed process. */
export type ManagedProcessOptions = {
	readonly name: string;
	/** The Node.js script and its arguments. */
	readonly command: readonly string[];
	/** The file that its output is appended to. */
	readonly logFile: string;
	/** Environment variables in addition to those of this process. */
	readonly environment?: Readonly<Record<string, string>>;
};

/** The exit code or signal of a process. */
export type ProcessExit = {
	readonly code: number | undefined;
	readonly signal: string | undefined;
};

/** The exit code or signal of a process, and its run time in milliseconds. */
export type LastExit = ProcessExit & {readonly runMilliseconds: number};

const defaultStopTimeoutMilliseconds = 20_000;
const runningChildren = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

/**
A Node.js process that a test can start, kill and restart.

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
	#exit: Promise<ProcessExit> | undefined;
	#startedAt = 0;
	#lastExit: LastExit | undefined;

	constructor({name, command, logFile, environment = {}}: ManagedProcessOptions) {
		this.name = name;
		this.logFile = logFile;
		this.#command = command;
		this.#environment = environment;
	}

	/** The process id; undefined while the process is not running. */
	get pid(): number | undefined {
		return this.#child?.pid;
	}

	/** Milliseconds since the process was started; 0 while it is not running. */
	get uptimeMilliseconds(): number {
		return this.#child === undefined ? 0 : performance.now() - this.#startedAt;
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	/** The most recent exit; undefined before the first one. */
	get lastExit(): LastExit | undefined {
		return this.#lastExit;
	}

	/** Starts the process; does nothing if it is already running. */
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
		this.#exit = this.#waitForExit(child, log);
	}

	/**
	Sends a signal and waits for the process to exit.

	@param signal The signal; SIGKILL by default.
	@returns The exit; undefined if the process was never started.
	*/
	async kill(signal: NodeJS.Signals = 'SIGKILL'): Promise<ProcessExit | undefined> {
		this.signal(signal);
		return this.#exit;
	}

	/**
	Sends a signal, such as SIGSTOP, without waiting.

	@param signal The signal.
	*/
	signal(signal: NodeJS.Signals): void {
		this.#child?.kill(signal);
	}

	/**
	Stops the process with SIGTERM, then with SIGKILL after a timeout.

	@param timeoutMilliseconds The timeout; 20 000 by default.
	@returns The exit; undefined if the process was never started.
	*/
	async stop(timeoutMilliseconds: number = defaultStopTimeoutMilliseconds): Promise<ProcessExit | undefined> {
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, timeoutMilliseconds);
		const exit = await this.kill('SIGTERM');
		clearTimeout(timer);
		return exit;
	}

	/** Stops the process and starts it with the same arguments. */
	async restart(): Promise<void> {
		await this.stop();
		this.start();
	}

	async #waitForExit(child: ChildProcess, log: NodeJS.WritableStream): Promise<ProcessExit> {
		const [code, signal] = await once(child, 'close') as [number | undefined, string | undefined];
		log.end();
		runningChildren.delete(child);
		this.#child = undefined;
		const exit = {code: code ?? undefined, signal: signal ?? undefined};
		this.#lastExit = {...exit, runMilliseconds: performance.now() - this.#startedAt};
		return exit;
	}
}
