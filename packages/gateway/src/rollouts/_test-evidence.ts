import {
	type InstanceId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type VersionEvidence} from './version-evidence.js';

/** A counter of one entry instance, for tests. */
export const testEvidence: VersionEvidence = {
	entry: 'entry-1' as InstanceId, run: 'one', service: 'summaries' as ServiceId, version: 'v2' as VersionId, route: 'drafts' as RouteId, model: '', answers: 3, failures: 1, latencySum: 90,
};
