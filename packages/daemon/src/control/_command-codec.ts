import {type Command} from '@valehitch/control';
import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Encodes a command as the payload of a log entry. */
export function encodeCommand(command: Command): Uint8Array {
	return new Uint8Array(packr.pack(command));
}

/** Decodes the payload of a log entry. */
export function decodeCommand(data: Uint8Array): Command {
	return packr.unpack(data) as Command;
}
