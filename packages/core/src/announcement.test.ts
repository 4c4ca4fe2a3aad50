import test from 'ava';
import {announcementSchema} from './announcement.js';

const validAnnouncement = {
	server: 'engine-1', zone: 'a', kind: 'engine', address: 'http://127.0.0.1:9001', capacity: 4, sequence: 0, startedAt: 1,
};

test('missing fields of an announcement get their defaults', t => {
	const announcement = announcementSchema.parse(validAnnouncement);
	t.deepEqual(announcement.models, []);
	t.false(announcement.shuttingDown);
});

test('an unknown field, an unsupported URL scheme and an invalid number are rejected', t => {
	for (const [field, value] of [['color', 'red'], ['address', 'ftp://x/'], ['capacity', 0], ['sequence', 1.5]] as const) {
		const parsed = announcementSchema.safeParse({...validAnnouncement, [field]: value});
		t.false(parsed.success, `${field} was accepted`);
	}
});
