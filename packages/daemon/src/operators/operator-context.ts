import {type ControlClient} from '../control/control-client.js';
import {type DaemonBase} from '../daemon-base.js';
import {type DistributionPart} from '../distribution/start-distribution.js';
import {type EntryContext} from '../entry/entry-context.js';

/** The components that the request handlers of the operator port use. */
export type OperatorContext = {
	readonly base: DaemonBase;
	readonly control: ControlClient;
	readonly distribution: DistributionPart;
	readonly entry: EntryContext;
};
