import {
	type ModelId, type RequestId, type VersionId, type WorkspaceId, typedSchema,
} from '@valehitch/core';
import * as z from 'zod';

/** The rating of one answer, as the rating service posts it. */
export type Rating = {
	readonly requestId: RequestId;
	readonly model: ModelId;
	readonly version: VersionId;
	readonly workspace: WorkspaceId;
	/** The name of the policy rule, or the class that the caller specified. */
	readonly class: string;
	/** From 0 (useless) to 1 (perfect). */
	readonly rating: number;
	/** Unix time in milliseconds. */
	readonly ratedAt: number;
};

const maximumRatings = 1000;
const name = z.string().min(1).max(128);
const ratingSchema = z.strictObject({
	requestId: name,
	model: name,
	version: name,
	workspace: name,
	class: z.string().max(128).default(''),
	rating: z.number().min(0).max(1),
	ratedAt: z.int().min(0),
});

/** The schema of `POST /v1/ratings`: one rating or a list of at most 1,000. Unknown fields are rejected. */
export const ratingsSchema = typedSchema<readonly Rating[]>(z.union([
	z.array(ratingSchema).max(maximumRatings),
	ratingSchema.transform(rating => [rating]),
]));
