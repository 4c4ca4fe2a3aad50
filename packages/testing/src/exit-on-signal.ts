import process from 'node:process';

const interruptedCode = 130;

/**
Has this process exit on SIGINT and SIGTERM, so that the processes it manages are killed with it.

@example
```ts
exitOnSignal();
```
*/
export function exitOnSignal(): void {
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			process.exit(interruptedCode);
		});
	}
}
