import {type Micros} from '@valehitch/core';
import {type VersionTarget} from './version-target.js';

/** What is expected of a candidate. */
export type Expectation = {
	/** The lower confidence bound of its quality, from 0 to 1. */
	readonly quality: number;
	/** Expected cost with the chance of escalation. */
	readonly expectedCost: Micros;
	/** Expected milliseconds to the whole answer. */
	readonly expectedMilliseconds: number;
};

/** One version that answers alone. */
export type DirectCandidate = Expectation & VersionTarget & {readonly kind: 'direct'};

/** A version that answers first, and one that takes over when the answer shows a sign of the rule. */
export type CascadeCandidate = Expectation & VersionTarget & {
	readonly kind: 'cascade';
	readonly escalatesTo: VersionTarget;
	/** The share of requests expected to escalate, from 0 to 1. */
	readonly escalationShare: number;
};

/** A way to serve a request; `model` and `version` answer first. */
export type Candidate = DirectCandidate | CascadeCandidate;

/** A candidate and, in words, why it was or was not chosen; `explain` shows it. */
export type Consideration = Candidate & {readonly verdict: string};

/** The chosen candidate and what lost. */
export type Choice = {
	readonly chosen: Candidate;
	/** Whether nothing met the quality target and the best one serves. */
	readonly belowTarget: boolean;
	readonly considered: readonly Consideration[];
};
