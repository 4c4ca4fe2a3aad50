import process from 'node:process';

const interruptedExitCode = 130;

/**
Makes this process exit on SIGINT and SIGTERM, so that its exit handlers kill the child processes.

@example
```ts
exitOnSignal();
```
*/
export function exitOnSignal(): void {
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			process.exit(interruptedExitCode);
		});
	}
}
