import {type Command} from '@valehitch/control';
import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Writes a command for the log. */
export function encodeCommand(command: Command): Uint8Array {
	return new Uint8Array(packr.pack(command));
}

/** Reads a command of the log. */
export function decodeCommand(data: Uint8Array): Command {
	return packr.unpack(data) as Command;
}
