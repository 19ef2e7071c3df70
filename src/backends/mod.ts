/** HTTP clients of backend servers, the instance list and the weight store. */
export type {
  CacheEvent,
  CacheFeedItem,
  Engine,
  EngineCall,
  EngineFailure,
  EngineInfo,
  EngineLoad,
  EngineOrder,
  EngineResponsePart,
  LoadedModel,
} from "./engine.ts";
export { HttpEngine, type HttpEngineOptions } from "./http_engine.ts";
export {
  HttpInstanceList,
  type HttpInstanceListOptions,
} from "./http_instance_list.ts";
export { HttpService, type HttpServiceOptions } from "./http_service.ts";
export {
  HttpWeightStore,
  type HttpWeightStoreOptions,
  type WeightsInfo,
  type WeightStore,
  type WeightStoreFailure,
} from "./http_weight_store.ts";
export {
  type Instance,
  type InstanceChanges,
  type InstanceList,
  type InstanceListFailure,
  InstanceRole,
  InstanceState,
} from "./instance_list.ts";
export type {
  HeaderField,
  PlainService,
  ServiceCall,
  ServiceFailure,
  ServiceResponsePart,
} from "./service.ts";
