import process from 'node:process';

/**
Preloaded before a program: reports, for each SIGHUP listener that the program adds, whether the program had loaded its modules by then.

The check looks for Node's HTTP module, which only the program's modules load.
*/
const on = process.on.bind(process);

process.on = ((name: string, listener: () => void) => {
	if (name === 'SIGHUP') {
		const {moduleLoadList} = process as unknown as {readonly moduleLoadList: readonly string[]};
		process.stderr.write(moduleLoadList.includes('NativeModule http') ? 'SIGHUP listener added after the modules were loaded\n' : 'SIGHUP listener added before the modules were loaded\n');
	}

	return on(name, listener);
}) as typeof process.on;
