import process from 'node:process';

/**
Preloaded before a program: says, at each listener to SIGHUP, whether the program had loaded its parts by then.

The parts are told by the runtime's module for HTTP, which nothing but they load.
*/
const on = process.on.bind(process);

process.on = ((name: string, listener: () => void) => {
	if (name === 'SIGHUP') {
		const {moduleLoadList} = process as unknown as {readonly moduleLoadList: readonly string[]};
		process.stderr.write(moduleLoadList.includes('NativeModule http') ? 'listens after its parts\n' : 'listens before its parts\n');
	}

	return on(name, listener);
}) as typeof process.on;
