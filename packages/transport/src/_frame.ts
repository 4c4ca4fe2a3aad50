import {Packr} from 'msgpackr';

/** What goes over a link. */
export type Frame
	= | {readonly type: 'message'; readonly body: unknown}
		| {readonly type: 'request'; readonly id: number; readonly body: unknown}
		| {readonly type: 'reply'; readonly id: number; readonly body: unknown};

const frameTypes = ['message', 'request', 'reply'] as const;
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Writes a frame as [type, id, body]. */
export function writeFrame(frame: Frame): Uint8Array {
	const id = frame.type === 'message' ? 0 : frame.id;
	return packr.pack([frameTypes.indexOf(frame.type), id, frame.body]);
}

/** Reads a frame; undefined where the bytes are none. */
export function readFrame(data: Uint8Array): Frame | undefined {
	try {
		const [type, id, body] = packr.unpack(data) as [number, number, unknown];
		const name = frameTypes[type];
		return name === undefined ? undefined : {type: name, id, body};
	} catch {
		return undefined;
	}
}
