import {type Micros} from '@valehitch/core';
import {type VersionTarget} from './version-target.js';

/** The expected quality, cost and latency of a candidate. */
export type CandidateEstimate = {
	/** The lower confidence bound of its quality, from 0 to 1. */
	readonly quality: number;
	/** The expected cost, including the expected cost of escalation. */
	readonly expectedCost: Micros;
	/** The expected time to the complete answer, in milliseconds. */
	readonly expectedMilliseconds: number;
};

/** A version that answers without escalation. */
export type DirectCandidate = CandidateEstimate & VersionTarget & {readonly kind: 'direct'};

/** A version that answers first, and one that takes over if the answer shows an escalation sign of the rule. */
export type CascadeCandidate = CandidateEstimate & VersionTarget & {
	readonly kind: 'cascade';
	readonly escalatesTo: VersionTarget;
	/** The expected share of requests that escalate, from 0 to 1. */
	readonly escalationShare: number;
};

/** A way to serve a request. `model` and `version` identify the version that answers first. */
export type Candidate = DirectCandidate | CascadeCandidate;

/** A candidate and the reason why it was or was not chosen, as shown by `explain`. */
export type ConsideredCandidate = Candidate & {readonly verdict: string};

/** The chosen candidate and all candidates that were considered. */
export type VersionChoice = {
	readonly chosen: Candidate;
	/** Whether no candidate met the quality target and the best available one serves instead. */
	readonly belowTarget: boolean;
	readonly considered: readonly ConsideredCandidate[];
};
