import {type RouteId} from '../configuration/routing-configuration.js';

/** The subjects that an entry instance was asked about on one route since it last told them. */
export type RouteSubjects = {
	readonly route: RouteId;
	/** Their hashes, one for each request, so that a subject may stand twice. */
	readonly subjects: readonly number[];
};

/** How often the subjects on one route repeat over the whole deployment. */
export type RouteRepeats = {
	readonly route: RouteId;
	/** The share of the requests whose subject was asked about shortly before, from 0 to 1. */
	readonly share: number;
};
