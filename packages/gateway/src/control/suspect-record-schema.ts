import {type RequestFingerprint, toId} from '@valehitch/core';
import {type SuspectRecord} from '@valehitch/routing';
import * as z from 'zod';

/** The schema of a stored record of a request suspected of crashing servers. */
export const suspectRecordSchema: z.ZodType<SuspectRecord> = z.object({
	fingerprint: z.string().transform(value => toId<RequestFingerprint>(value)),
	ends: z.array(z.object({process: z.string(), at: z.number(), isCleared: z.boolean()})),
});
