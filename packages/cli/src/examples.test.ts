import {readdir} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {checkFile, readConfiguration} from './_check-file.js';

const examples = fileURLToPath(new URL('../../../examples/', import.meta.url));

for (const name of ['coulee-flats', 'glasblik']) {
	test(`the settings and the configuration of ${name} are valid and have the expected size`, async t => {
		const folder = path.join(examples, name);
		const files = await readdir(folder);
		t.is(files.length, 8);
		for (const file of files) {
			const checked = await checkFile(path.join(folder, file));
			t.true(checked.isRight(), `${file}: ${JSON.stringify(checked.extract())}`);
		}

		const configuration = await readConfiguration(path.join(folder, 'configuration.yaml'));
		t.is(configuration.map(({workspaces}) => Object.keys(workspaces).length).orDefault(0), 10);
	});
}
