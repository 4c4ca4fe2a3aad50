import {testConfiguration} from '../configuration/_test-configuration.js';
import {type ControlInstance} from './control-instance.js';

/** Retries a call until it returns a value; the timeout of the test run limits the time. */
export async function eventually<Value>(attempt: () => Promise<Value | undefined>): Promise<Value> {
	for (;;) {
		const value = await attempt();
		if (value !== undefined) {
			return value;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}
}

/** Submits a small configuration with the given version; resolves to `true` if it was acknowledged. */
export async function submit(control: ControlInstance, version: number): Promise<true | undefined> {
	const submitted = await control.operators.submitConfiguration(testConfiguration({version}), `version ${version}`);
	return submitted.isRight() ? true : undefined;
}
