import {type ControlState} from '@valehitch/control';
import {match} from 'ts-pattern';
import {type DaemonBase} from '../daemon-base.js';
import {toResultReply} from '../result-reply.js';
import {ControlClient} from './control-client.js';
import {ControlHost} from './control-host.js';
import {type ControlMessage} from './messages.js';

/** The control part of a daemon. */
export type ControlPart = {
	readonly client: ControlClient;
	/** Answers a message to the control role; undefined where this instance does not have it. */
	readonly answer: (message: ControlMessage) => Promise<unknown>;
	/** Whether this instance leads the control replicas, as far as it knows. */
	readonly isLeader: () => boolean;
	/** Until when the leader's lease runs, on the monotonic clock. */
	readonly leaseValidUntil: () => number;
	/** The applied state; undefined where this instance does not have the role. */
	readonly state: () => Pick<ControlState, 'effective'> | undefined;
	/** Calls the listener after each applied command. */
	readonly onApplied: (listener: () => void) => void;
	readonly stop: () => Promise<void>;
};

/**
Starts the control part: the client on every instance, the replicated state where the settings give the role.

@param base What every part works with.
@returns The part.
@example
```ts
const control = await startControl(base);
```
*/
export async function startControl({settings, timeline, network}: DaemonBase): Promise<ControlPart> {
	const isHost = settings.control[0]?.instance === settings.instance;
	const host = isHost ? new ControlHost({timeline}) : undefined;
	return {
		client: new ControlClient({network, control: settings.control}),
		answer: async message => host === undefined ? undefined : answerOn(host, message),
		isLeader: () => host !== undefined,
		leaseValidUntil: () => Number.POSITIVE_INFINITY,
		state: () => host,
		onApplied(listener) {
			host?.onApplied(listener);
		},
		async stop() {
			// The state is in memory; there is nothing to close.
		},
	};
}

function answerOn(host: ControlHost, message: ControlMessage): unknown {
	return match(message)
		.with({type: 'propose'}, ({command}) => toResultReply(host.propose(command)))
		.with({type: 'ledger'}, question => host.ledger(question))
		.exhaustive();
}
