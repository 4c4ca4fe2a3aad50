import {type ServerResponse} from 'node:http';
import test from 'ava';
import {sendMany, TestEntry, testKinds} from './_test-entry.js';

/** Makes the head of the answer impossible to write, once. */
function refuseFirstHead(response: ServerResponse): void {
	const writeHead = response.writeHead.bind(response);
	response.writeHead = () => {
		response.writeHead = writeHead;
		throw new RangeError('Invalid status code: 0');
	};
}

for (const kind of testKinds) {
	test(`an answer to a ${kind} request that cannot be written ends neither the process nor other requests`, async t => {
		let requests = 0;
		const entry = await TestEntry.start(t, {
			serverCount: 2,
			stallMilliseconds: 500,
			deadlineMilliseconds: 3000,
			onRequest(_request, response) {
				requests++;
				if (requests === 2) {
					refuseFirstHead(response);
				}
			},
		});
		const answers = await sendMany(entry, {kind, count: 4, name: 'one'});
		t.deepEqual(answers.map(({status}) => status), [200, 500, 200, 200]);
		t.deepEqual(answers.filter(({isWhole}) => !isWhole).map(({status}) => status), [500]);
		t.is(entry.logged.filter(({message}) => message === 'Unexpected error in the request').length, 1);
	});
}
