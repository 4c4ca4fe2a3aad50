import * as z from 'zod';
import {typedSchema} from './typed-schema.js';
import {
	type ModelId, type Revision, type ServiceId, type VersionId, type WorkspaceId, type ZoneId,
} from './ids.js';
import {type Prices} from './money.js';

/** The state of a version: settled, being rolled out, or withdrawn. */
export type VersionState = 'settled' | 'rolling-out' | 'withdrawn';

/** One stage of a rollout. */
export type RolloutStage = {
	/** The share of the model's new requests, greater than 0 and at most 1. */
	readonly share: number;
	/** The number of ratings required before the next stage. */
	readonly minimumRatings: number;
	/** The minimum duration of the stage in seconds. */
	readonly minimumSeconds: number;
	/** The maximum number of requests that one instance has in progress on the version. Defaults to 32. */
	readonly maximumInProgress?: number | undefined;
};

/** One version of a model. */
export type VersionConfiguration = {
	readonly state: VersionState;
	/** The listed quality, from 0 to 1, which ratings gradually override. */
	readonly quality: number;
	readonly prices: Prices;
	/** The version that a rollout replaces. */
	readonly replaces?: VersionId | undefined;
	/** The stages of the rollout. */
	readonly stages?: readonly RolloutStage[] | undefined;
};

/** One model. */
export type ModelConfiguration = {
	readonly versions: Readonly<Record<VersionId, VersionConfiguration>>;
};

/** A method and a path prefix of a plain service. */
export type ServiceCall = {
	readonly method: string;
	readonly path: string;
};

/** One plain service. */
export type ServiceConfiguration = {
	/** Calls that may be repeated, in addition to GET, HEAD and OPTIONS. */
	readonly repeatable: readonly ServiceCall[];
	/** The price per call in units of account. */
	readonly pricePerCall: number;
};

/** A sign that an answer is not good enough: truncated at the token limit, refused, empty, or of low confidence as reported by the engine. */
export type EscalationSign = 'truncated' | 'refused' | 'empty' | 'low-confidence';

/** When a cheaper version may answer first and a more expensive one takes over. */
export type EscalationConfiguration = {
	/** The signs that trigger escalation; one is enough. */
	readonly signs: readonly EscalationSign[];
	/** The confidence, from 0 to 1, below which an answer counts as low-confidence. */
	readonly minimumConfidence: number;
	/** The expected share of answers that escalate, from 0 to 1, which observations gradually override. */
	readonly expectedShare: number;
	/** The listed quality, from 0 to 1, of first answers without a sign, which ratings gradually override. */
	readonly acceptedQuality: number;
};

/** A rule of a policy program. The first rule whose condition holds applies. */
export type PolicyRule = {
	readonly name: string;
	/** A CEL condition on `request`. A rule without one always applies. */
	readonly when?: string | undefined;
	/** The models that may serve the request. Their order breaks ties. */
	readonly models: readonly ModelId[];
	/** The required quality, from 0 to 1. */
	readonly qualityTarget: number;
	/** The maximum time from arrival to the last byte, in milliseconds. */
	readonly deadlineMilliseconds: number;
	/** The priority passed to the engine. Lower values are served first. */
	readonly priority: number;
	/** The criterion between versions of nearly equal cost. Defaults to `cost`. */
	readonly prefers?: 'cost' | 'latency' | undefined;
	/** Whether the best version serves or the request is refused if no version meets the quality target. Defaults to `serve`. */
	readonly whenBelowTarget?: 'serve' | 'refuse' | undefined;
	/** The escalation settings of cascades. Without them, cascades are disabled. */
	readonly escalation?: EscalationConfiguration | undefined;
};

/** One workspace. */
export type WorkspaceConfiguration = {
	/** SHA-256 digests of the workspace's keys, in hexadecimal. */
	readonly keyDigests: readonly string[];
	/** The weight of the workspace in capacity sharing. */
	readonly weight: number;
	/** The models and versions that the workspace may use. */
	readonly allowed: Readonly<Record<ModelId, readonly VersionId[]>>;
	readonly services: readonly ServiceId[];
	readonly policy: readonly PolicyRule[];
};

/** The configuration document that operators apply. */
export type Configuration = {
	readonly models: Readonly<Record<ModelId, ModelConfiguration>>;
	readonly services: Readonly<Record<ServiceId, ServiceConfiguration>>;
	readonly workspaces: Readonly<Record<WorkspaceId, WorkspaceConfiguration>>;
	/** The availability zones whose backend servers get no requests; none if absent. */
	readonly evacuatedZones?: readonly ZoneId[] | undefined;
};

/** The progress of a rollout in the replicated state. */
export type RolloutProgress = {
	readonly model: ModelId;
	readonly version: VersionId;
	/** The index of the current stage. */
	readonly stage: number;
	readonly status: 'running' | 'stopped' | 'completed';
	/** When the current stage began, as Unix time in milliseconds. */
	readonly stageStartedAt: number;
	/** The reason why the rollout was stopped. */
	readonly reason?: string;
};

/** The configuration in force: the configuration document and the progress of rollouts, under one revision. */
export type EffectiveConfiguration = {
	readonly revision: Revision;
	readonly document: Configuration;
	/** Keyed by `versionKey(model, version)`. */
	readonly rollouts: Readonly<Record<string, RolloutProgress>>;
};

// The settings package recognizes messages by the prefix "Wanted " and removes it.
const idPattern = /^[a-z\d][a-z\d._\-]{0,63}$/v;
const idText = z.string().regex(idPattern, 'Wanted 1 to 64 of a to z, 0 to 9, dot, dash and underscore, starting with a letter or digit');
const fraction = z.number().min(0).max(1);
const price = z.number().min(0).max(1_000_000);

const versionSchema = z.strictObject({
	state: z.enum(['settled', 'rolling-out', 'withdrawn']).default('settled'),
	quality: fraction,
	prices: z.strictObject({input: price, output: price}),
	replaces: idText.optional(),
	stages: z.array(z.strictObject({
		share: z.number().gt(0).max(1),
		minimumRatings: z.int().min(0).default(0),
		minimumSeconds: z.number().min(0).default(0),
		maximumInProgress: z.int().min(1).max(100_000).optional(),
	})).min(1).max(20).optional(),
});

const escalationSchema = z.strictObject({
	signs: z.array(z.enum(['truncated', 'refused', 'empty', 'low-confidence'])).min(1).max(4),
	minimumConfidence: fraction.default(0.5),
	expectedShare: fraction.default(0.3),
	acceptedQuality: fraction,
});

const ruleSchema = z.strictObject({
	name: idText,
	when: z.string().max(4000).optional(),
	models: z.array(idText).min(1).max(64),
	qualityTarget: fraction,
	deadlineMilliseconds: z.int().min(1).max(3_600_000).default(60_000),
	priority: z.int().min(0).max(9).default(5),
	prefers: z.enum(['cost', 'latency']).optional(),
	whenBelowTarget: z.enum(['serve', 'refuse']).optional(),
	escalation: escalationSchema.optional(),
});

const workspaceSchema = z.strictObject({
	keyDigests: z.array(z.string().regex(/^[a-f\d]{64}$/v, 'Wanted a SHA-256 digest of 64 hexadecimal digits')).max(16).default([]),
	weight: z.number().gt(0).max(1000).default(1),
	allowed: z.record(idText, z.array(idText)).default({}),
	services: z.array(idText).default([]),
	policy: z.array(ruleSchema).max(200).default([]),
});

const serviceSchema = z.strictObject({
	repeatable: z.array(z.strictObject({
		method: z.string().regex(/^[A-Z]{1,16}$/v, 'Wanted an HTTP method in capitals'),
		path: z.string().startsWith('/').max(512),
	})).default([]),
	pricePerCall: price.default(0),
});

/** The schema of the configuration document. Unknown fields are rejected. */
export const configurationSchema: z.ZodType<Configuration> = typedSchema<Configuration>(z.strictObject({
	models: z.record(idText, z.strictObject({versions: z.record(idText, versionSchema)})).default({}),
	services: z.record(idText, serviceSchema).default({}),
	workspaces: z.record(idText, workspaceSchema).default({}),
	evacuatedZones: z.array(idText).max(64).optional(),
}));

/**
Returns the map key of a version of a model.

@param model The model.
@param version The version.
@returns The key, such as `tag-small@1.0`.
@example
```ts
versionKey(toId<ModelId>('tag-small'), toId<VersionId>('1.0'));
```
*/
export function versionKey(model: ModelId, version: VersionId): string {
	return `${model}@${version}`;
}

/** The configuration before any has been committed. */
export const emptyConfiguration: Configuration = {models: {}, services: {}, workspaces: {}};
