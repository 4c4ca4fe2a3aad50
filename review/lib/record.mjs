// Writes what a script saw to `record.txt`, and ends with the code that the issue asks for.
import {writeFileSync} from 'node:fs';
import process from 'node:process';

export class Record {
	constructor(file) {
		this.file = file;
		this.lines = [];
	}

	add(line) {
		this.lines.push(`${new Date().toISOString()} ${line}`);
		writeFileSync(this.file, `${this.lines.join('\n')}\n`);
	}

	end(code, verdict) {
		this.add(verdict);
		process.stdout.write(`${verdict}\n`);
		process.exit(code);
	}
}
