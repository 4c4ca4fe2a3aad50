import {ServiceLinks} from '@valehitch/routing';

function ignore(): void {
	// The event is not under test.
}

/** Creates links to servers none of which is known or reachable. */
export function createLinks(): ServiceLinks {
	return new ServiceLinks({
		clock: {monotonic: () => 0}, random: () => 0, servers: () => [], isReachable: async () => false, wait: async () => new Promise<void>(ignore), onCutOff: ignore, onReachable: ignore,
	});
}
