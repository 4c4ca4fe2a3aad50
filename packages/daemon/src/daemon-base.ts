import {type Clock, type RandomSource} from '@valehitch/core';
import {type Settings} from '@valehitch/settings';
import {type PeerNetwork} from '@valehitch/transport';
import type Logger from 'bunyan';
import {type EventRing} from './event-ring.js';
import {type Member} from './member.js';
import {type PeerMessage} from './messages.js';
import {type Metrics} from './metrics.js';
import {type Timeline} from './timeline.js';

/** The dependencies that all components of a daemon share. */
export type DaemonBase = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly timeline: Timeline;
	/** The most recent timeline events, which operators can query. */
	readonly events: EventRing;
	readonly metrics: Metrics;
	readonly network: PeerNetwork<PeerMessage>;
	/** The identity and address of this daemon, as other daemons see them. */
	readonly self: Member;
	/** Generates a unique id. */
	readonly newId: () => string;
};
