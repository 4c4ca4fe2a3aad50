import {type PoolPicture} from './pool-picture.js';

/**
The picture while no control instance sends one.

@example
```ts
const picture = (): PoolPicture => noPicture;
```
*/
export const noPicture: PoolPicture = {
	age: Number.POSITIVE_INFINITY,
	workAt: () => undefined,
	heldByOthers: [],
};
