import {type PromptPartFingerprint, type SuspectFingerprint, toId} from '@valehitch/core';
import {type SuspectRecord} from '@valehitch/routing';
import * as z from 'zod';

/** The schema of a stored record of a request, or a part of prompts, suspected of crashing servers. */
export const suspectRecordSchema: z.ZodType<SuspectRecord> = z.object({
	fingerprint: z.string().transform(value => toId<SuspectFingerprint>(value)),
	ends: z.array(z.object({process: z.string(), at: z.number(), isCleared: z.boolean()})),
	parts: z.array(z.string().transform(value => toId<PromptPartFingerprint>(value))).optional(),
	depth: z.number().int().nonnegative().optional(),
	answeredAt: z.number().optional(),
});
