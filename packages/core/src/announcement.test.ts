import test from 'ava';
import {announcementSchema} from './announcement.js';

const sound = {
	server: 'engine-1', zone: 'a', kind: 'engine', address: 'http://127.0.0.1:9001', capacity: 4, sequence: 0, startedAt: 1,
};

test('an announcement gets its defaults', t => {
	const announcement = announcementSchema.parse(sound);
	t.deepEqual(announcement.models, []);
	t.false(announcement.shuttingDown);
});

test('an unknown field, another scheme and a bad number are refused with their path', t => {
	for (const [field, value] of [['color', 'red'], ['address', 'ftp://x/'], ['capacity', 0], ['sequence', 1.5]] as const) {
		const parsed = announcementSchema.safeParse({...sound, [field]: value});
		t.false(parsed.success, `Got ${field} taken`);
	}
});
