import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type ExecutionContext} from 'ava';
import {type PlatformDeployment} from './platform-deployment.js';

/** What is needed of a test to end with it. */
export type TestEnd = Pick<ExecutionContext, 'teardown' | 'passed' | 'title' | 'log'>;

/**
Stops the deployment of a test, and keeps the logs of its instances if the test failed, since a failure that shows once cannot be traced without them.

@param t The test, in its teardown.
@param deployment The deployment.
@example
```ts
t.teardown(async () => stopAfterTest(t, deployment));
```
*/
export async function stopAfterTest(t: TestEnd, deployment: Pick<PlatformDeployment, 'stop'>): Promise<void> {
	const logFolder = t.passed ? undefined : await mkdtemp(path.join(tmpdir(), 'valehitch-failed-test-'));
	await deployment.stop({logFolder});
	if (logFolder !== undefined) {
		t.log(`The logs of "${t.title}" are in ${logFolder}`);
	}
}
