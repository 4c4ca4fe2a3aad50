import {type HybridTimestamp} from '@valehitch/core';
import {Packr} from 'msgpackr';

/** A message on a peer link. */
export type Frame
	= | {readonly type: 'message'; readonly body: unknown}
		| {readonly type: 'request'; readonly id: number; readonly body: unknown}
		| {readonly type: 'reply'; readonly id: number; readonly body: unknown};

/** The longest frame that is read, in bytes. */
export const maximumFrameBytes = 16 * 1024 * 1024;
const frameTypes = ['message', 'request', 'reply'] as const;
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Encodes a frame as `[type, id, body]`, or as `[type, id, body, wall, counter]` if it has a timestamp of the sender. */
export function encodeFrame(frame: Frame, timestamp?: HybridTimestamp): Uint8Array {
	const id = frame.type === 'message' ? 0 : frame.id;
	const fields = [frameTypes.indexOf(frame.type), id, frame.body];
	return packr.pack(timestamp === undefined ? fields : [...fields, timestamp.wall, timestamp.counter]);
}

/** A received frame with the sender's timestamp, if it had one. */
export type ReceivedFrame = Frame & {readonly timestamp?: HybridTimestamp};

/** Decodes a frame; returns undefined if the bytes are not a valid frame. */
export function decodeFrame(data: Uint8Array): ReceivedFrame | undefined {
	try {
		const [type, id, body, wall, counter] = packr.unpack(data) as [number, number, unknown, unknown, unknown];
		const frameType = frameTypes[type];
		const timestamp = typeof wall === 'number' && typeof counter === 'number' ? {wall, counter} : undefined;
		return frameType === undefined
			? undefined
			: {
				type: frameType, id, body, ...(timestamp && {timestamp}),
			};
	} catch {
		return undefined;
	}
}
