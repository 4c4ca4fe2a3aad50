import {readFile} from 'node:fs/promises';
import test from 'ava';
import {parseSettings} from '@valehitch/settings';
import {startHttpServer} from '@valehitch/transport';
import {handleBackend} from '../backends/handle-backend.js';
import {sha256} from '../digest.js';
import {type Rating} from './rating.js';

const settingsText = await readFile(new URL('../../../../examples/embedded.yaml', import.meta.url), 'utf8');
const example = parseSettings(settingsText, 'embedded.yaml').unsafeCoerce();
const settings = {...example, keys: {...example.keys, backends: [sha256('backend-key')]}};
const rating = {
	requestId: 'r1', model: 'm', version: '1', workspace: 'yard', class: 'lookup', rating: 0.5, ratedAt: 1,
};

test('single ratings and lists are accepted with a valid key; anything else is rejected', async t => {
	const received: Rating[] = [];
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 16_384,
		handler: async (request, response) => handleBackend(request, response, {
			settings,
			onAnnouncement() {
				t.fail('Unexpected announcement');
			},
			onRatings(ratings) {
				received.push(...ratings);
				return {accepted: ratings.length, doubled: 0, unknown: 0};
			},
		}),
		onError(error) {
			t.fail(`Unexpected error: ${String(error)}`);
		},
	});
	const post = async (body: string, key = 'backend-key'): Promise<Response> => fetch(`http://127.0.0.1:${server.port}/v1/ratings`, {
		method: 'POST', body, headers: {authorization: `Bearer ${key}`},
	});
	const answer = await post(JSON.stringify([rating, {...rating, requestId: 'r2'}]));
	t.is(answer.status, 200);
	t.deepEqual(await answer.json(), {accepted: 2, doubled: 0, unknown: 0});
	const single = await post(JSON.stringify(rating));
	t.is(single.status, 200);
	t.is(received.length, 3);
	for (const invalid of ['{', '[1]', JSON.stringify({...rating, rating: 2}), JSON.stringify({...rating, ratedAt: undefined})]) {
		const refused = await post(invalid);
		t.is(refused.status, 400);
	}

	const unauthenticated = await post(JSON.stringify(rating), 'other');
	t.is(unauthenticated.status, 401);
	const tooLarge = await post(' '.repeat(1_100_000));
	t.is(tooLarge.status, 413);
	t.is(received.length, 3);
	server.destroy();
});
