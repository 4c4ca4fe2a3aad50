import {type ContentionRequest} from './contention-request.js';

/** The priority of a request whose own cannot be read: the least urgent one. */
const leastUrgentPriority = 9;
/** The least work of a prompt, in milliseconds: that of the fixed part of each step of a backend server. */
export const minimumWork = 5;

/** Bounds what a caller claims, so that a false claim delays its own requests only. A prompt that takes longer than the target latency counts as one that takes as long. */
export function boundedRequest(request: ContentionRequest): ContentionRequest {
	const {priority, work} = request;
	const targetLatency = atLeast(request.targetLatency, 0);
	return {
		...request,
		priority: priority >= 0 && priority <= leastUrgentPriority ? Math.floor(priority) : leastUrgentPriority,
		work: Math.min(atLeast(work, minimumWork), Math.max(minimumWork, targetLatency)),
		targetLatency,
	};
}

/** Returns the number, or the minimum if it is smaller or not a number. */
export function atLeast(value: number, minimum: number): number {
	return Number.isNaN(value) ? minimum : Math.max(value, minimum);
}
