/** HTTP clients of backend servers, the instance list and the weight store. */
export type {
  CacheEvent,
  CacheFeedStep,
  Engine,
  EngineCall,
  EngineFailure,
  EngineInfo,
  EngineLoad,
  EngineOrder,
  EngineStep,
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
} from "./instances.ts";
export type {
  HeaderField,
  PlainService,
  ServiceCall,
  ServiceFailure,
  ServiceStep,
} from "./service.ts";
