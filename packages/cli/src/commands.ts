import {Apply} from './commands/apply.js';
import {Check} from './commands/check.js';
import {Get} from './commands/get.js';
import {Status} from './commands/status.js';

/** The commands of `valehitch`, by name. */
export const commands: {
	readonly apply: typeof Apply;
	readonly check: typeof Check;
	readonly get: typeof Get;
	readonly status: typeof Status;
} = {
	apply: Apply, check: Check, get: Get, status: Status,
};
