import {crc32} from 'node:zlib';
import {Packr} from 'msgpackr';

/**
The result of decoding a frame.

Each write to a file appends one frame: the payload's length, the CRC-32 of the length, the CRC-32 of the payload and the payload itself. The length has its own checksum so that a flipped bit in it cannot make an intact record look like a torn write.
*/
export type FrameReadResult
	= | {readonly type: 'frame'; readonly body: unknown; readonly end: number}
	/** An incomplete write; no data after it was ever synced. */
		| {readonly type: 'torn'}
	/** Data that was synced and has been corrupted since. */
		| {readonly type: 'damaged'; readonly reason: string};

export const frameHeaderBytes = 12;
const lengthChecksumOffset = 4;
const payloadChecksumOffset = 8;
const sectorBytes = 512;
const minimumZeroBytes = 64;
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false, copyBuffers: true});

/** Encodes a value as a frame. */
export function encodeFrame(body: unknown): Uint8Array {
	const payload = packr.pack(body);
	const frame = new Uint8Array(frameHeaderBytes + payload.length);
	const view = new DataView(frame.buffer);
	view.setUint32(0, payload.length, true);
	view.setUint32(lengthChecksumOffset, crc32(frame.subarray(0, lengthChecksumOffset)), true);
	view.setUint32(payloadChecksumOffset, crc32(payload), true);
	frame.set(payload, frameHeaderBytes);
	return frame;
}

/** Decodes the frame at an offset, which must be less than the length of the data. */
export function decodeFrame(data: Uint8Array, offset: number): FrameReadResult {
	const bytes = data.subarray(offset);
	if (bytes.length < frameHeaderBytes) {
		return {type: 'torn'};
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset);
	if (crc32(bytes.subarray(0, lengthChecksumOffset)) !== view.getUint32(lengthChecksumOffset, true)) {
		return isAllZeros(bytes) ? {type: 'torn'} : {type: 'damaged', reason: 'the checksum of the length is wrong'};
	}

	const length = frameHeaderBytes + view.getUint32(0, true);
	if (length > bytes.length) {
		return {type: 'torn'};
	}

	const payload = bytes.subarray(frameHeaderBytes, length);
	if (crc32(payload) === view.getUint32(payloadChecksumOffset, true)) {
		return {type: 'frame', body: packr.unpack(payload), end: offset + length};
	}

	return length === bytes.length && hasUnwrittenSector(data, offset + frameHeaderBytes)
		? {type: 'torn'}
		: {type: 'damaged', reason: 'the checksum of the payload is wrong'};
}

/** Whether the data contains a sector that was never written to the disk and therefore reads as zeros. */
function hasUnwrittenSector(data: Uint8Array, offset: number): boolean {
	for (let start = offset; start < data.length; start = nextSector(start)) {
		const sector = data.subarray(start, Math.min(nextSector(start), data.length));
		if (sector.length >= minimumZeroBytes && isAllZeros(sector)) {
			return true;
		}
	}

	return false;
}

function nextSector(offset: number): number {
	return (Math.floor(offset / sectorBytes) + 1) * sectorBytes;
}

function isAllZeros(bytes: Uint8Array): boolean {
	return bytes.every(byte => byte === 0);
}
