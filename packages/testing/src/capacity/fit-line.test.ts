import test from 'ava';
import {fitLine} from './fit-line.js';

test('points on a line fit with no residual', t => {
	const fit = fitLine([3, 7, 14, 28].map(size => ({size, value: 5 + (2 * size)})));
	t.true(Math.abs(fit.slope - 2) < 1e-9);
	t.true(Math.abs(fit.intercept - 5) < 1e-9);
	t.true(fit.residual < 1e-9);
});

test('the residual is the root mean square of the distances', t => {
	t.deepEqual(fitLine([{size: 0, value: 1}, {size: 0, value: -1}, {size: 1, value: 1}, {size: 1, value: -1}]), {slope: 0, intercept: 0, residual: 1});
});

test('points of a single size have no slope', t => {
	t.throws(() => fitLine([{size: 1, value: 1}, {size: 1, value: 2}]), {instanceOf: RangeError});
	t.throws(() => fitLine([]), {instanceOf: RangeError});
});
