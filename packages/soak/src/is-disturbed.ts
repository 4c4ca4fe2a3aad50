import {type Disturbance} from './soak-record.js';

/** An interval in the life of a process, in milliseconds on the clock of the soak. */
export type ProcessInterval = {
	/** The address of the process. */
	readonly address: string;
	readonly from: number;
	readonly to: number;
};

/** The time that an instance has to catch up after a disturbance. */
const catchUpMilliseconds = 3000;

/**
Returns whether a process was disturbed during an interval, or so shortly before it that it may still be catching up.

@param disturbances All disturbances.
@param interval The process and the interval.
@returns Whether it was disturbed.
@example
```ts
isDisturbed(record.disturbances, {address: '127.0.0.4:8227', from: 1000, to: 2000});
```
*/
export function isDisturbed(disturbances: readonly Disturbance[], {address, from, to}: ProcessInterval): boolean {
	return disturbances.some(disturbance => address.startsWith(`${disturbance.ip}:`) && disturbance.from <= to && disturbance.to >= from - catchUpMilliseconds);
}
