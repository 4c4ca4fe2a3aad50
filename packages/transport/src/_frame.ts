import {type HybridTimestamp} from '@valehitch/core';
import {Packr} from 'msgpackr';

/** What goes over a link. */
export type Frame
	= | {readonly type: 'message'; readonly body: unknown}
		| {readonly type: 'request'; readonly id: number; readonly body: unknown}
		| {readonly type: 'reply'; readonly id: number; readonly body: unknown};

const frameTypes = ['message', 'request', 'reply'] as const;
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Writes a frame as [type, id, body], or as [type, id, body, wall, counter] with the sender's time stamp. */
export function writeFrame(frame: Frame, stamp?: HybridTimestamp): Uint8Array {
	const id = frame.type === 'message' ? 0 : frame.id;
	const plain = [frameTypes.indexOf(frame.type), id, frame.body];
	return packr.pack(stamp === undefined ? plain : [...plain, stamp.wall, stamp.counter]);
}

/** A frame that was read, and the sender's time stamp where it came along. */
export type ReadFrame = Frame & {readonly stamp?: HybridTimestamp};

/** Reads a frame; undefined where the bytes are none. */
export function readFrame(data: Uint8Array): ReadFrame | undefined {
	try {
		const [type, id, body, wall, counter] = packr.unpack(data) as [number, number, unknown, unknown, unknown];
		const name = frameTypes[type];
		const stamp = typeof wall === 'number' && typeof counter === 'number' ? {wall, counter} : undefined;
		return name === undefined
			? undefined
			: {
				type: name, id, body, ...(stamp && {stamp}),
			};
	} catch {
		return undefined;
	}
}
