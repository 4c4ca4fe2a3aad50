import {match} from 'ts-pattern';
import {type DaemonBase} from '../daemon-base.js';
import {type SubscribeMessage, type SubscribeReply} from '../distribution/messages.js';
import {toResultReply} from '../result-reply.js';
import {ControlClient} from './control-client.js';
import {ControlHost} from './control-host.js';
import {type ControlMessage} from './messages.js';

/** The control part of a daemon. */
export type ControlPart = {
	readonly client: ControlClient;
	/** Answers a message to the control role; undefined where this instance does not have it. */
	readonly answer: (message: ControlMessage) => Promise<unknown>;
	/** Answers an instance that asks what is new; undefined where this instance cannot tell. */
	readonly subscribe: (message: SubscribeMessage) => SubscribeReply | undefined;
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
export async function startControl({settings, clock, timeline, network}: DaemonBase): Promise<ControlPart> {
	const isHost = settings.control[0]?.instance === settings.instance;
	const host = isHost ? new ControlHost({clock, timeline, leaseMilliseconds: settings.timing.configurationLeaseMilliseconds}) : undefined;
	return {
		client: new ControlClient({network, control: settings.control}),
		answer: async message => host === undefined ? undefined : answerOn(host, message),
		subscribe: message => host?.subscribe(message),
		async stop() {
			// The state is in memory; there is nothing to close.
		},
	};
}

function answerOn(host: ControlHost, message: ControlMessage): unknown {
	return match(message)
		.with({type: 'propose'}, ({command}) => toResultReply(host.propose(command)))
		.with({type: 'in-force'}, () => host.inForce())
		.with({type: 'ledger'}, question => host.ledger(question))
		.exhaustive();
}
