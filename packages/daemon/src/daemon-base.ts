import {type Clock, type RandomSource} from '@valehitch/core';
import {type Settings} from '@valehitch/settings';
import {type PeerNetwork} from '@valehitch/transport';
import type Logger from 'bunyan';
import {type EventRing} from './event-ring.js';
import {type Member} from './member.js';
import {type PeerMessage} from './messages.js';
import {type Metrics} from './metrics.js';
import {type Timeline} from './timeline.js';

/** What every part of a daemon works with. */
export type DaemonBase = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly timeline: Timeline;
	/** The latest events of the time line, for operators. */
	readonly events: EventRing;
	readonly metrics: Metrics;
	readonly network: PeerNetwork<PeerMessage>;
	/** This daemon as the others know it. */
	readonly self: Member;
	/** Gives a new id. */
	readonly newId: () => string;
};
