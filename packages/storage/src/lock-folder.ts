import {stat} from 'node:fs/promises';
import {createServer} from 'node:net';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** Gives a lock back. */
export type Unlock = () => Promise<void>;

/**
Takes the lock of a folder that another process of the same machine cannot hold at the same time.

The kernel holds it, as a socket in the abstract namespace named by the folder's device and inode: it ends with the process, whatever ends that, so no stale lock is left behind.

@param folder The folder.
@returns What gives the lock back, or a failure where another process has the folder open.
@example
```ts
const unlock = await lockFolder('/var/lib/valehitch');
```
*/
export async function lockFolder(folder: string): Promise<Either<Failure, Unlock>> {
	const {dev, ino} = await stat(folder);
	const server = createServer(socket => {
		socket.destroy();
	});
	const error = await new Promise<NodeJS.ErrnoException | undefined>(resolve => {
		server.once('error', resolve);
		server.listen({path: `\0valehitch-data-${dev}-${ino}`, exclusive: true}, () => {
			resolve(undefined);
		});
	});
	if (error !== undefined) {
		return Left(failure('internal', error.code === 'EADDRINUSE'
			? `Got the data folder ${folder} that another process has open, wanted it for this process alone`
			: `Got ${error.message} for the lock of ${folder}`));
	}

	server.unref();
	return Right(async () => new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	}));
}
