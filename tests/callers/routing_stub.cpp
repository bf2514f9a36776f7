// Routing table until the library `model` has one; removed when it is merged.
#include "endive/model.h"

namespace endive::model {

routing_table::routing_table(snapshot source) : source_{std::move(source)} {
    for (const auto& part : source_.parts) {
        services_.insert(services_.end(), part.services.begin(), part.services.end());
        routes_.insert(routes_.end(), part.routes.begin(), part.routes.end());
    }
}

route_handle routing_table::find_route(std::string_view method, std::string_view path) const {
    for (std::uint32_t i = 0; i < routes_.size(); ++i) {
        const bool fits = routes_[i].method == "*" || routes_[i].method == method;
        if (fits && path.starts_with(routes_[i].path_prefix)) {
            return {i};
        }
    }
    return {};
}

} // namespace endive::model
