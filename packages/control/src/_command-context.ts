import {type ControlLimits} from './control-limits.js';
import {type ReplicatedClock} from './_replicated-clock.js';

/** The state shared by all commands. */
export type CommandContext = {
	readonly limits: ControlLimits;
	/** Decides about expiry in place of the dates in commands. Those come from the clocks of other machines, and one leader with a wrong date must not cause a request to run twice. */
	readonly clock: ReplicatedClock;
};
