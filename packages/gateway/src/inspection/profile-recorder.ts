import process from 'node:process';
import {failure, type Failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type CpuProfile} from './sum-profile.js';

/** The sampling interval, in microseconds. A hundredth of the time has ten samples in five seconds; a shorter interval costs a small instance a share of its processor that callers notice. */
const samplingMicroseconds = 5000;

/**
Records CPU profiles of this process, one at a time. Between profiles it costs nothing, because the profiler is off.

@example
```ts
const profile = await new ProfileRecorder().record(async () => wait(5000));
```
*/
export class ProfileRecorder {
	#isRecording = false;

	/**
	Records a profile.

	@param ended Resolves when the recording is to end.
	@returns The profile, or a `profile-in-progress` failure while another one is recorded.
	*/
	async record(ended: () => Promise<void>): Promise<Either<Failure, CpuProfile>> {
		if (this.#isRecording) {
			return Left(failure('profile-in-progress', 'Another profile of this instance is being recorded; wait until it has ended'));
		}

		this.#isRecording = true;
		// Loaded only when it is needed, because it takes some milliseconds of each start. A bundled program has no dynamic imports.
		const inspector = process.getBuiltinModule('node:inspector/promises');
		const session = new inspector.Session();
		session.connect();
		try {
			await session.post('Profiler.enable');
			await session.post('Profiler.setSamplingInterval', {interval: samplingMicroseconds});
			await session.post('Profiler.start');
			await ended();
			const {profile} = await session.post('Profiler.stop');
			return Right(profile);
		} finally {
			session.disconnect();
			this.#isRecording = false;
		}
	}
}
