import * as z from 'zod';
import {typedSchema} from './typed-schema.js';
import {
	type ModelId, type Revision, type ServiceId, type VersionId, type WorkspaceId,
} from './ids.js';
import {type Prices} from './money.js';

/** Where a version stands: settled, in the middle of a roll-out, or withdrawn. */
export type VersionState = 'settled' | 'rolling-out' | 'withdrawn';

/** One stage of a roll-out. */
export type RolloutStage = {
	/** The share of the model's new requests, above 0 and up to 1. */
	readonly share: number;
	/** Ratings that must have come before the next stage. */
	readonly minimumRatings: number;
	/** Seconds that the stage lasts at least. */
	readonly minimumSeconds: number;
	/** The most requests that one instance has in progress on the version; 32 unless given. */
	readonly maximumInProgress?: number | undefined;
};

/** One version of a model. */
export type VersionConfiguration = {
	readonly state: VersionState;
	/** The listed quality, from 0 to 1; what ratings say replaces it in time. */
	readonly quality: number;
	readonly prices: Prices;
	/** The version that a roll-out replaces. */
	readonly replaces?: VersionId | undefined;
	/** The stages of the roll-out. */
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
	/** Calls that may be repeated, besides GET, HEAD and OPTIONS. */
	readonly repeatable: readonly ServiceCall[];
	/** Units of account for a call. */
	readonly pricePerCall: number;
};

/** A sign in an answer that it is not good enough: cut off at the token limit, refused, without text, or of low confidence by the engine's own word. */
export type EscalationSign = 'truncated' | 'refused' | 'empty' | 'low-confidence';

/** When a cheaper version may answer first and a dearer one takes over. */
export type EscalationConfiguration = {
	/** The signs; any one of them escalates. */
	readonly signs: readonly EscalationSign[];
	/** The confidence, from 0 to 1, below which an answer counts as of low confidence. */
	readonly minimumConfidence: number;
	/** The share of answers expected to escalate, from 0 to 1; what is seen replaces it in time. */
	readonly expectedShare: number;
	/** The listed quality, from 0 to 1, of first answers that show no sign; what ratings say replaces it in time. */
	readonly acceptedQuality: number;
};

/** One rule of a policy program; the first whose condition holds decides. */
export type PolicyRule = {
	readonly name: string;
	/** A CEL condition on `request`; a rule without one always holds. */
	readonly when?: string | undefined;
	/** The models that may serve such requests; order breaks ties. */
	readonly models: readonly ModelId[];
	/** The quality wanted, from 0 to 1. */
	readonly qualityTarget: number;
	/** Milliseconds from arrival to the last byte. */
	readonly deadlineMilliseconds: number;
	/** The priority handed to the engine; lower is sooner. */
	readonly priority: number;
	/** What decides between versions of nearly equal cost; `cost` unless given. */
	readonly prefers?: 'cost' | 'latency' | undefined;
	/** What happens when no version meets the quality target: the best one serves, or the request is refused; `serve` unless given. */
	readonly whenBelowTarget?: 'serve' | 'refuse' | undefined;
	/** When cascades are allowed; none unless given. */
	readonly escalation?: EscalationConfiguration | undefined;
};

/** One workspace. */
export type WorkspaceConfiguration = {
	/** SHA-256 digests of the workspace's keys, in hexadecimal. */
	readonly keyDigests: readonly string[];
	/** The workspace's weight in sharing capacity. */
	readonly weight: number;
	/** The models and versions that the workspace may use. */
	readonly allowed: Readonly<Record<ModelId, readonly VersionId[]>>;
	readonly services: readonly ServiceId[];
	readonly policy: readonly PolicyRule[];
};

/** The document that operators apply. */
export type Configuration = {
	readonly models: Readonly<Record<ModelId, ModelConfiguration>>;
	readonly services: Readonly<Record<ServiceId, ServiceConfiguration>>;
	readonly workspaces: Readonly<Record<WorkspaceId, WorkspaceConfiguration>>;
};

/** Where a roll-out stands in the replicated state. */
export type RolloutProgress = {
	readonly model: ModelId;
	readonly version: VersionId;
	/** The index of the stage in force. */
	readonly stage: number;
	readonly status: 'running' | 'stopped' | 'completed';
	/** When the stage began, in milliseconds since 1970. */
	readonly stageStartedAt: number;
	/** Why it was stopped. */
	readonly reason?: string;
};

/** The configuration in force: the operators' document and the roll-outs' progress, under one revision. */
export type EffectiveConfiguration = {
	readonly revision: Revision;
	readonly document: Configuration;
	/** Keyed by `versionKey(model, version)`. */
	readonly rollouts: Readonly<Record<string, RolloutProgress>>;
};

const idPattern = /^[a-z\d][a-z\d._\-]{0,63}$/v;
const idText = z.string().regex(idPattern, 'Wanted 1 to 64 of a to z, 0 to 9, dot, dash and underscore, starting with a letter or digit');
const share = z.number().min(0).max(1);
const price = z.number().min(0).max(1_000_000);

const versionSchema = z.strictObject({
	state: z.enum(['settled', 'rolling-out', 'withdrawn']).default('settled'),
	quality: share,
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
	minimumConfidence: share.default(0.5),
	expectedShare: share.default(0.3),
	acceptedQuality: share,
});

const ruleSchema = z.strictObject({
	name: idText,
	when: z.string().max(4000).optional(),
	models: z.array(idText).min(1).max(64),
	qualityTarget: share,
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

/** The schema of the operators' document; unknown fields are refused. */
export const configurationSchema: z.ZodType<Configuration> = typedSchema<Configuration>(z.strictObject({
	models: z.record(idText, z.strictObject({versions: z.record(idText, versionSchema)})).default({}),
	services: z.record(idText, serviceSchema).default({}),
	workspaces: z.record(idText, workspaceSchema).default({}),
}));

/**
The key under which a version of a model is kept in maps.

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

/** The configuration before any was committed. */
export const emptyConfiguration: Configuration = {models: {}, services: {}, workspaces: {}};
