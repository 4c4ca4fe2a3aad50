import {type ControlLimits} from './control-limits.js';
import {type LogTime} from './_log-time.js';

/** What carrying out a command depends on besides the command and its part of the state. */
export type CommandContext = {
	readonly limits: ControlLimits;
	/** Dates of commands are other machines' clocks: one leader's wrong date must not let a call run twice. */
	readonly time: LogTime;
};
